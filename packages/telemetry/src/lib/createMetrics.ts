import { StatsD } from 'hot-shots';
import type Metrics from './Metrics.js';
import type MetricsSettings from './MetricsSettings.js';

const PREFIX = 'dandelionlane.';
const DEFAULT_PORT = 8125;
const BUFFER_BYTES = 1_400;
const FLUSH_INTERVAL_MILLISECONDS = 1_000;

/** Sends metrics over StatsD (UDP). A lost datagram or an unreachable host never fails a request. */
export default function createMetrics(settings: MetricsSettings, globalTags: readonly string[]): Metrics {
  const client = new StatsD({
    host: settings.host ?? '127.0.0.1',
    port: settings.port ?? DEFAULT_PORT,
    prefix: PREFIX,
    globalTags: [...globalTags],
    maxBufferSize: BUFFER_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MILLISECONDS,
    mock: settings.host === undefined,
    errorHandler: () => undefined,
  });
  // A mocked client stores every datagram, so metrics are discarded if no host is set.
  const isDisabled = settings.host === undefined;
  return {
    count(name, amount = 1, tags = []) {
      if (!isDisabled) {
        client.increment(name, amount, [...tags]);
      }
    },
    gauge(name, value, tags = []) {
      if (!isDisabled) {
        client.gauge(name, value, [...tags]);
      }
    },
    timing(name, milliseconds, tags = []) {
      if (!isDisabled) {
        client.timing(name, milliseconds, [...tags]);
      }
    },
    close() {
      return new Promise((resolve) => {
        client.close(() => resolve());
      });
    },
  };
}
