import { repeatWork, type ServiceId } from '@dandelionlane/core';
import { logRoundFailure } from '@dandelionlane/telemetry';
import type RequestServer from '../requests/RequestServer.js';
import type EntryComponents from './EntryComponents.js';
import type EntryRuntime from './EntryRuntime.js';

/** Starts the periodic reads of rows, polls for reports and gauges. Returns a function that stops them. */
export default function startPeriodicTasks(
  { settings, metrics, log }: EntryRuntime,
  {
    release, group, targets, admission,
  }: EntryComponents,
  server: RequestServer,
): () => void {
  const { pollPeriodMilliseconds, reportPeriodMilliseconds } = settings.timing;
  const homeServices = (): readonly ServiceId[] => [...release.definitions()]
    .map(({ service }) => service)
    .filter((service) => group.isHome(service));
  const onFailure = logRoundFailure(log);
  const stops = [
    repeatWork(() => targets.readRows(homeServices()), pollPeriodMilliseconds, onFailure),
    repeatWork(() => targets.pollReports(), reportPeriodMilliseconds, onFailure),
    repeatWork(async () => {
      metrics.gauge('entry.in_flight', server.inFlight);
      metrics.gauge('entry.queued', admission.queued());
      metrics.gauge('entry.release_sequence', release.sequence());
    }, pollPeriodMilliseconds, onFailure),
  ];
  return () => stops.forEach((stop) => {
    void stop();
  });
}
