import type SentRequest from './SentRequest.js';

const OK = 200;

/** Whether a request has had a whole answer of success. */
export default function isServed({ outcome }: SentRequest): boolean {
  return outcome?.kind === 'answered' && outcome.status === OK && outcome.whole;
}
