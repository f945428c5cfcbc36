/**
 * What an entry hears of the holder of the lease by its link: that it renews the lease, that it
 * lives without renewing it, or nothing.
 */
type HolderLiveness = 'renewing' | 'alive' | 'silent';

export default HolderLiveness;
