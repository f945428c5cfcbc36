/** How many requests an entry sends to an engine that comes back. */
type ColdStartPolicy = 'limiter' | 'limiter without growth' | 'fixed floor' | 'no limit';

export default ColdStartPolicy;
