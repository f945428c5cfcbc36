import { mkdtemp } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import sade from 'sade';
import type DataPathPlan from './lib/DataPathPlan.js';
import type DataPathResult from './lib/DataPathResult.js';
import measureDataPath from './lib/measureDataPath.js';
import type ReaderSummary from './lib/ReaderSummary.js';

const VERSION = '0.1.0';

interface Options {
  readonly streams: string | number;
  readonly rate: string | number;
  readonly tokens: string | number;
  readonly seconds: string | number;
  readonly peers: string | number;
  readonly members: string | number;
}

function worst(readers: readonly ReaderSummary[], pick: (reader: ReaderSummary) => number): string {
  return Math.max(...readers.map(pick)).toFixed(2);
}

function printResult({
  plan, readers, ...result
}: DataPathResult): void {
  process.stdout.write([
    `${plan.route}: ${plan.streams} streams of ${plan.tokensPerSecond} tokens/s, replicas of ${plan.membersPerReplica} VMs`,
    `  relayed: ${Math.round(result.tokensPerSecond)} tokens/s, ${result.requestsPerSecond.toFixed(1)} requests/s, ${result.failures} failures`,
    `  token delay p50/p95/p99 (worst reader): ${worst(readers, (each) => each.delayP50Milliseconds)} / ${worst(readers, (each) => each.delayP95Milliseconds)} / ${worst(readers, (each) => each.delayP99Milliseconds)} ms`,
    `  first token p50/p95/p99 (worst reader): ${worst(readers, (each) => each.firstTokenP50Milliseconds)} / ${worst(readers, (each) => each.firstTokenP95Milliseconds)} / ${worst(readers, (each) => each.firstTokenP99Milliseconds)} ms`,
    `  entry: ${result.entryCores.toFixed(2)} cores, ${result.entryIdleMebibytes.toFixed(0)} MiB idle, ${result.entryMebibytes.toFixed(0)} MiB at the end`,
    '',
  ].join('\n'));
}

async function run(options: Options): Promise<void> {
  const directory = await mkdtemp(join(tmpdir(), 'dandelionlane-data-path-'));
  for (const route of ['direct', 'entry'] as const) {
    const plan: DataPathPlan = {
      streams: Number(options.streams),
      tokensPerSecond: Number(options.rate),
      tokensPerStream: Number(options.tokens),
      seconds: Number(options.seconds),
      peers: Number(options.peers),
      membersPerReplica: Number(options.members),
      route,
    };
    printResult(await measureDataPath(directory, plan));
  }
}

sade('data-path', true)
  .version(VERSION)
  .describe('Measures what one entry adds to streams, beside a run without an entry.')
  .option('--streams', 'Open streams', 700)
  .option('--rate', 'Tokens a second on each stream', 50)
  .option('--tokens', 'Tokens of each stream', 280)
  .option('--seconds', 'Length of the measurement', 10)
  .option('--peers', 'Processes that play targets, and as many callers', 3)
  .option('--members', 'VMs of each replica', 4)
  .action(run)
  .parse(process.argv);
