/** What is measured: this package or the naive version. */
type Variant = 'membership' | 'naive';

export default Variant;
