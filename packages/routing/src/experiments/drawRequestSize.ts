import type { RandomSource } from '@dandelionlane/core';
import type RequestSize from './RequestSize.js';

const PREFIX_TOKENS = 1_500;
const MEAN_SUFFIX_TOKENS = 200;
const MEDIAN_OUTPUT_TOKENS = 110;
const OUTPUT_SPREAD = 0.8;
const MAXIMUM_OUTPUT_TOKENS = 800;

/** Draws a standard normal number (Box-Muller). */
function drawNormal(random: RandomSource): number {
  return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

/** Draws a request: shared prefix of skewed popularity, exponential suffix, log-normal output. */
export default function drawRequestSize(random: RandomSource, prefixes: number): RequestSize {
  const prefix = Math.floor(prefixes ** random.next());
  const output = MEDIAN_OUTPUT_TOKENS * Math.exp(OUTPUT_SPREAD * drawNormal(random));
  return {
    prefix,
    prefixTokens: PREFIX_TOKENS,
    suffixTokens: Math.ceil(-Math.log(1 - random.next()) * MEAN_SUFFIX_TOKENS),
    outputTokens: Math.max(1, Math.min(MAXIMUM_OUTPUT_TOKENS, Math.round(output))),
  };
}
