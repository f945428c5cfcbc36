/** Measured implementation: this package or its naive baseline. */
type Variant = 'membership' | 'naive';

export default Variant;
