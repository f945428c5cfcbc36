import runChoice from './runChoice.js';
import runColdStart from './runColdStart.js';
import runCost from './runCost.js';
import runFairness from './runFairness.js';
import runHedging from './runHedging.js';
import runQueue from './runQueue.js';
import runRetries from './runRetries.js';

/** Experiments by name. */
const EXPERIMENTS: Readonly<Record<string, () => void>> = {
  choice: runChoice,
  fairness: runFairness,
  retries: runRetries,
  queue: runQueue,
  cold: runColdStart,
  hedging: runHedging,
  cost: runCost,
};

/** Runs the named experiments, or all if none is named. */
export default function runExperiments(names: readonly string[]): void {
  Object.entries(EXPERIMENTS)
    .filter(([name]) => names.length === 0 || names.includes(name))
    .forEach(([, run]) => run());
}

runExperiments(process.argv.slice(2));
