/** One entry's previous share and the one it is to have. */
interface Share {
  readonly previous: number;
  readonly wanted: number;
}

/**
 * Gives each holder the smaller of its previous and its wanted share, then distributes
 * the free part of the limit to holders below their wanted share. A share withdrawn in
 * this step is not free yet, since its holder has not read the new row.
 */
export default function planShares(
  shares: readonly Share[],
  limit: number,
  inUse: number,
): readonly number[] {
  const held = shares.reduce((sum, { previous }) => sum + previous, 0);
  let free = Math.max(0, limit - held - inUse);
  return shares.map(({ previous, wanted }) => {
    const kept = Math.min(previous, wanted);
    const added = Math.min(wanted - kept, free);
    free -= added;
    return kept + added;
  });
}
