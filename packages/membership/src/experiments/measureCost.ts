import type Cost from './Cost.js';
import type CostScenario from './CostScenario.js';
import createEntryRecords from './createEntryRecords.js';
import createVariantNetwork from './createVariantNetwork.js';
import type FakeEntry from './FakeEntry.js';
import probePeriodOptions from './probePeriodOptions.js';
import startEntries from './startEntries.js';
import type Variant from './Variant.js';
import WireMeter from './WireMeter.js';

const SAMPLED_ENTRIES = 8;
/** The naive baseline is configured with its peers, so it needs no time to discover them. */
const SETTLE_MILLISECONDS: Readonly<Record<Variant, number>> = { membership: 150_000, naive: 3_000 };
const MILLISECONDS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

function totalStepMilliseconds(processes: readonly FakeEntry[]): number {
  return processes.reduce((sum, { stepMilliseconds }) => sum + stepMilliseconds, 0);
}

/** Measures the cost of one entry after the group has settled. */
export default function measureCost(scenario: CostScenario): Cost {
  const {
    variant, entries, regions, seconds,
  } = scenario;
  const records = createEntryRecords(entries, regions);
  const sampled = records.slice(0, SAMPLED_ENTRIES);
  const meter = new WireMeter(new Set(sampled.map(({ peerAddress }) => peerAddress)));
  const network = createVariantNetwork(variant, records, {
    interceptMessage: (from, to, message) => meter.transfer(from, to, message),
    ...probePeriodOptions(scenario),
  });
  const processes = startEntries(network, records).slice(0, SAMPLED_ENTRIES);
  meter.start();
  network.runFor(scenario.settleMilliseconds ?? SETTLE_MILLISECONDS[variant]);
  const readsBefore = network.store.reads;
  meter.start();
  const stepMillisecondsBefore = totalStepMilliseconds(processes);
  network.runFor(seconds * MILLISECONDS_PER_SECOND);
  const entrySeconds = sampled.length * seconds;
  const stepMilliseconds = totalStepMilliseconds(processes) - stepMillisecondsBefore;
  return {
    variant,
    entries,
    regions,
    messagesPerSecond: meter.messages / entrySeconds,
    bytesPerSecond: meter.bytes / entrySeconds,
    microsecondsPerSecond:
      ((meter.codecMilliseconds + stepMilliseconds) * MICROSECONDS_PER_MILLISECOND) / entrySeconds,
    storeReadsPerSecond: (network.store.reads - readsBefore) / seconds,
  };
}
