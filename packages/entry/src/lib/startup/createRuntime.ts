import { Agent } from 'undici';
import { SystemClock, SystemRandom } from '@dandelionlane/core';
import { HTTPTableStore } from '@dandelionlane/platform';
import { createLog, createMetrics } from '@dandelionlane/telemetry';
import type EntrySettings from '../settings/EntrySettings.js';
import type EntryRuntime from './EntryRuntime.js';

const CONNECTIONS_TO_PLATFORM = 8;
const CONNECTIONS_FOR_REPORTS = 2;
const KEEP_ALIVE_MILLISECONDS = 30_000;

/** Clock, logs, metrics and connections of an entry. */
export default function createRuntime(settings: EntrySettings): EntryRuntime {
  const clock = new SystemClock();
  const metrics = createMetrics(settings.metrics, [`entry:${settings.entry}`]);
  const platformAgent = new Agent({ connections: CONNECTIONS_TO_PLATFORM });
  // Grants limit the requests in flight; a connection limit would only add a hidden queue.
  const targetAgent = new Agent({ connections: null, keepAliveTimeout: KEEP_ALIVE_MILLISECONDS });
  const reportAgent = new Agent({ connections: CONNECTIONS_FOR_REPORTS });
  return {
    settings,
    clock,
    random: new SystemRandom(),
    log: createLog('routing', settings.log, clock),
    metrics,
    store: new HTTPTableStore(settings.platformAddress, platformAgent),
    targetAgent,
    reportAgent,
    async close() {
      await Promise.all([platformAgent.destroy(), targetAgent.destroy(), reportAgent.destroy()]);
      await metrics.close();
    },
  };
}
