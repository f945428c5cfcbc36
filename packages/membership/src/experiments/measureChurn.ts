import type Churn from './Churn.js';
import createFakeNetwork from './createFakeNetwork.js';
import createEntryRecords from './createEntryRecords.js';
import type FakeNetwork from './FakeNetwork.js';
import startEntries from './startEntries.js';
import WireMeter from './WireMeter.js';

const SETTLE_MILLISECONDS = 200_000;
const MILLISECONDS_PER_SECOND = 1_000;
const SECONDS = 60;
const SAMPLED_ENTRIES = 7;
const SEED = 47;

/** Mean bytes per sampled entry in each second. */
function measureBytesPerSecond(network: FakeNetwork, meter: WireMeter, sampled: number): readonly number[] {
  return Array.from({ length: SECONDS }, () => {
    meter.start();
    network.runFor(MILLISECONDS_PER_SECOND);
    return meter.bytes / sampled;
  });
}

function summarize(perSecond: readonly number[]): Pick<Churn, 'peakBytesPerSecond' | 'meanBytesPerSecond'> {
  return {
    peakBytesPerSecond: Math.max(...perSecond),
    meanBytesPerSecond: perSecond.reduce((sum, bytes) => sum + bytes, 0) / perSecond.length,
  };
}

/** Measures the cost while the last entries of a group crash, then restart, at the same time. */
export default function measureChurn(
  entries: number,
  changed: number,
  sample: Churn['sample'],
): readonly Churn[] {
  const records = createEntryRecords(entries, 1);
  const samples = sample === 'seed' ? records.slice(0, 1) : records.slice(1, 1 + SAMPLED_ENTRIES);
  const sampled = samples.map(({ peerAddress }) => peerAddress);
  const meter = new WireMeter(new Set(sampled));
  const network = createFakeNetwork({
    seed: SEED, interceptMessage: (from, to, message) => meter.transfer(from, to, message),
  });
  const crashed = startEntries(network, records).slice(entries - changed);
  network.runFor(SETTLE_MILLISECONDS);
  crashed.forEach(({ record }) => network.crash(record.entry));
  const crash = measureBytesPerSecond(network, meter, sampled.length);
  crashed.forEach((entry) => network.restart(entry, [{ kind: 'entry', entry: records[0]! }]));
  const restart = measureBytesPerSecond(network, meter, sampled.length);
  return [
    {
      entries, changed, sample, event: 'crash', ...summarize(crash), seconds: SECONDS,
    },
    {
      entries, changed, sample, event: 'restart', ...summarize(restart), seconds: SECONDS,
    },
  ];
}
