/** How an entry limits its requests to an engine after a restart. */
type ColdStartPolicy = 'limiter' | 'limiter without growth' | 'fixed floor' | 'no limit';

export default ColdStartPolicy;
