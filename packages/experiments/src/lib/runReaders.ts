import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import type DataPathPlan from './DataPathPlan.js';
import ReaderSummary from './ReaderSummary.js';

const SUMMARY_PREFIX = 'summary ';
const WARM_UP_SECONDS = 5;

function runReader(
  addresses: readonly string[],
  service: string,
  plan: DataPathPlan,
): Promise<ReaderSummary> {
  const program = fileURLToPath(new URL('../runTokenReader.js', import.meta.url));
  const child = spawn(process.execPath, [
    program,
    addresses.join(','),
    service,
    String(Math.ceil(plan.streams / plan.peers)),
    String(plan.tokensPerStream),
    String(plan.seconds),
    String(WARM_UP_SECONDS),
  ], { stdio: ['ignore', 'pipe', 'inherit'] });
  let output = '';
  child.stdout.on('data', (chunk: Buffer) => {
    output += chunk.toString();
  });
  return new Promise((resolve, reject) => {
    child.once('close', () => {
      const line = output.split('\n').find((each) => each.startsWith(SUMMARY_PREFIX));
      if (line === undefined) {
        reject(new Error('a reader ended without a summary'));
        return;
      }
      resolve(ReaderSummary.parse(JSON.parse(line.slice(SUMMARY_PREFIX.length))));
    });
  });
}

/** Runs the reader processes of a plan, all at one time. */
export default function runReaders(
  addresses: readonly string[],
  service: string,
  plan: DataPathPlan,
): Promise<readonly ReaderSummary[]> {
  return Promise.all(Array.from({ length: plan.peers }, () => runReader(addresses, service, plan)));
}
