/**
 * Liveness of the holder of the lease, as observed on the link to it: it renews the lease, it is
 * alive without renewing the lease, or it is silent.
 */
type HolderLiveness = 'renewing' | 'alive' | 'silent';

export default HolderLiveness;
