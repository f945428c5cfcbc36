/** One entry's share in a plan. */
interface Share {
  readonly previous: number;
  readonly wanted: number;
}

/**
 * Gives each holder the smaller of what it has and what it is to have, then hands
 * out to those short of their share what is free. A share given up in this step is
 * not free yet: its holder has not read the new row.
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
