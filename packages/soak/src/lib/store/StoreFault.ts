/**
 * What is wrong with the store. `busy`: it answers 503. `silent`: it does not answer. `forgetful`:
 * it does what it is told and loses the answer, for every second write.
 */
type StoreFault = 'none' | 'busy' | 'silent' | 'forgetful';

export default StoreFault;
