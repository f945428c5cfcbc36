import type ExperimentRow from './ExperimentRow.js';
import formatTable from './formatTable.js';
import measureChurn from './measureChurn.js';
import measureCost from './measureCost.js';
import measureDowntime from './measureDowntime.js';
import measureLoadLimit from './measureLoadLimit.js';
import measureLossThreshold from './measureLossThreshold.js';
import measureSteadiness from './measureSteadiness.js';
import measureStranding from './measureStranding.js';
import measureZoneMove from './measureZoneMove.js';

const EXPERIMENTS: Readonly<Record<string, () => ExperimentRow[]>> = {
  downtime: measureDowntime,
  'zone-move': measureZoneMove,
  stranding: measureStranding,
  steadiness: measureSteadiness,
  'load-limit': measureLoadLimit,
  'loss-threshold': measureLossThreshold,
  cost: measureCost,
  churn: measureChurn,
};

/** Runs the experiments named on the command line, or all of them, and prints tables and JSON. */
function main(names: readonly string[]): void {
  for (const [name, measure] of Object.entries(EXPERIMENTS)) {
    if (names.length > 0 && !names.includes(name)) continue;
    const rows = measure();
    process.stdout.write(`${name}\n\n${formatTable(rows)}\n\n${JSON.stringify({ experiment: name, rows })}\n\n`);
  }
}

main(process.argv.slice(2));
