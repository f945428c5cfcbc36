import { readFileSync } from 'node:fs';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createAdaptorServer } from '@hono/node-server';
import { Agent } from 'undici';
import {
  Incarnation, SystemClock, SystemRandom, type EntryRecord, type ServiceId, type TeamId,
} from '@dandelionlane/core';
import { ClaimStore, HTTPTableStore } from '@dandelionlane/platform';
import { createLog, createMetrics } from '@dandelionlane/telemetry';
import createAdministrationApplication from './administration/createAdministrationApplication.js';
import createCallerApplication from './callers/createCallerApplication.js';
import AnswerChecker from './dispatch/AnswerChecker.js';
import RequestDispatcher from './dispatch/RequestDispatcher.js';
import RequestForwarder from './forward/RequestForwarder.js';
import createGrantListener from './peers/createGrantListener.js';
import EntryGroup from './peers/EntryGroup.js';
import PeerTransport from './peers/PeerTransport.js';
import OutOfServiceWatch from './release/OutOfServiceWatch.js';
import ReleaseHolder from './release/ReleaseHolder.js';
import AdmissionDesk from './requests/AdmissionDesk.js';
import RequestServer from './requests/RequestServer.js';
import type RunningEntry from './RunningEntry.js';
import type EntrySettings from './settings/EntrySettings.js';
import TargetTable from './targets/TargetTable.js';

const CONNECTIONS_TO_PLATFORM = 8;
const STATUS_UNAVAILABLE = 503;
const DRAIN_POLL_MILLISECONDS = 50;
const KEEP_ALIVE_MILLISECONDS = 30_000;

function listen(server: Server, host: string, port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(`${host}:${(server.address() as AddressInfo).port}`));
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

/** Repeats work until stopped, never two runs at a time. */
function repeat(work: () => Promise<void>, periodMilliseconds: number): () => void {
  let stopped = false;
  let timer: NodeJS.Timeout | undefined;
  const run = () => {
    void work().finally(() => {
      if (!stopped) {
        timer = setTimeout(run, periodMilliseconds);
      }
    });
  };
  run();
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
}

/** Starts an entry. Rejects if a port cannot be bound or the token cannot be read. */
export default async function startEntry(settings: EntrySettings): Promise<RunningEntry> {
  const clock = new SystemClock();
  const random = new SystemRandom();
  const log = createLog('routing', settings.log, clock);
  const peerLog = createLog('membership', settings.log, clock);
  const metrics = createMetrics(settings.metrics, [`entry:${settings.entry}`]);
  // eslint-disable-next-line n/no-sync -- before anything is served
  const token = readFileSync(settings.administration.tokenFile, 'utf8').trim();
  const platformAgent = new Agent({ connections: CONNECTIONS_TO_PLATFORM });
  const targetAgent = new Agent({
    // Grants bound the requests in flight; a second bound here would only hide a queue.
    connections: null,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
  });
  const reportAgent = new Agent({ connections: 2 });
  const store = new HTTPTableStore(settings.platformAddress, platformAgent);
  const release = new ReleaseHolder({ store, clock, log: createLog('release', settings.log, clock) });
  const outOfService = new OutOfServiceWatch(release, clock);

  let callerApplication: ReturnType<typeof createCallerApplication> | undefined;
  let leaving = false;
  let closed = false;
  let group: EntryGroup | undefined;
  let table: TargetTable | undefined;
  const transport = new PeerTransport({
    host: settings.peers.host,
    port: settings.peers.port,
    log: peerLog,
    receive: (envelope, reply) => group?.receive(envelope, reply),
    sendFailed: (address) => group?.sendFailed(address),
    answerHTTP: createGrantListener(() => table as TargetTable),
  });
  const peerPort = await transport.listen();

  const callerServer = createAdaptorServer({
    fetch: (request, environment) => (
      callerApplication?.fetch(request, environment) ?? new Response(null, { status: STATUS_UNAVAILABLE })
    ),
    serverOptions: {
      maxHeaderSize: settings.limits.maximumHeaderBytes,
      headersTimeout: settings.limits.receiveTimeoutMilliseconds,
      requestTimeout: settings.limits.receiveTimeoutMilliseconds,
    },
  }) as Server;
  const callerAddress = await listen(callerServer, settings.callers.host, settings.callers.port);
  const self: EntryRecord = {
    entry: settings.entry,
    region: settings.region,
    availabilityZone: settings.availabilityZone,
    incarnation: Incarnation.parse(clock.now().getTime()),
    callerAddress,
    peerAddress: `${settings.peers.host}:${peerPort}`,
  };
  const entryGroup = new EntryGroup({
    self,
    seeds: settings.seeds,
    probePeriodMilliseconds: settings.timing.probePeriodMilliseconds,
    pollPeriodMilliseconds: settings.timing.pollPeriodMilliseconds,
    clock,
    random,
    release,
    send: (address, envelope) => transport.send(address, envelope),
  });
  group = entryGroup;
  const weightOf = (team: TeamId) => (
    release.state()?.teamWeights.find((entry) => entry.team === team)?.weight ?? 1
  );
  const admission = new AdmissionDesk(clock, weightOf);
  const targets = new TargetTable({
    entry: settings.entry,
    region: settings.region,
    store,
    dispatcher: reportAgent,
    clock,
    freshnessMilliseconds: settings.timing.freshnessMilliseconds,
    isOut: (member) => outOfService.isOut(member),
    log,
    changed: (service) => admission.setCapacity(service.service, service.capacity()),
  });
  table = targets;
  const server = new RequestServer({
    entry: settings.entry,
    clock,
    release,
    group: entryGroup,
    targets,
    admission,
    claims: new ClaimStore({ store, clock, entry: settings.entry }),
    dispatcher: new RequestDispatcher({
      availabilityZone: settings.availabilityZone,
      dispatcher: targetAgent,
      clock,
      random,
      checker: new AnswerChecker(targets, clock, settings.timing.freshnessMilliseconds),
      maximumAnswerBytes: settings.limits.maximumAnswerBytes,
      slowCallerTimeoutMilliseconds: settings.limits.slowCallerTimeoutMilliseconds,
      log,
      metrics,
    }),
    forwarder: new RequestForwarder({
      entry: settings.entry,
      availabilityZone: settings.availabilityZone,
      dispatcher: targetAgent,
      clock,
      log,
    }),
    maximumBodyBytes: settings.limits.maximumBodyBytes,
    receiveTimeoutMilliseconds: settings.limits.receiveTimeoutMilliseconds,
    isClosed: () => closed,
    log,
    metrics,
  });
  callerApplication = createCallerApplication({
    server,
    group: entryGroup,
    release,
    random,
    keepMilliseconds: settings.timing.keepMilliseconds,
    notReady: () => {
      if (leaving) {
        return 'shutting down';
      }
      return release.state() === null ? 'no accepted release state from the table service or a peer' : null;
    },
  });
  const administrationServer = createAdaptorServer({
    fetch: createAdministrationApplication({
      region: settings.region, token, store, clock, release, group: entryGroup, log,
    }).fetch,
  }) as Server;
  const administrationAddress = await listen(
    administrationServer,
    settings.administration.host,
    settings.administration.port,
  );

  const homeServices = (): readonly ServiceId[] => [...release.definitions()]
    .map(({ service }) => service)
    .filter((service) => entryGroup.isHome(service));
  entryGroup.start();
  const stopRows = repeat(() => targets.readRows(homeServices()), settings.timing.pollPeriodMilliseconds);
  const stopReports = repeat(() => targets.readReports(), settings.timing.reportPeriodMilliseconds);
  const stopMetrics = repeat(async () => {
    metrics.gauge('entry.in_flight', server.inFlight);
    metrics.gauge('entry.queued', admission.queued());
    metrics.gauge('entry.release_sequence', release.sequence());
  }, settings.timing.pollPeriodMilliseconds);

  return {
    callerAddress,
    peerAddress: self.peerAddress,
    administrationAddress,
    async stop() {
      leaving = true;
      log.info('Leaving.', { inFlight: server.inFlight });
      entryGroup.leave();
      // Callers keep an older answer to which entry to use for a while: they are served meanwhile.
      await sleep(settings.timing.lameDuckMilliseconds);
      closed = true;
      while (server.inFlight > 0) {
        await sleep(DRAIN_POLL_MILLISECONDS);
      }
      log.info('Drained.');
      [stopRows, stopReports, stopMetrics].forEach((stop) => stop());
      entryGroup.stop();
      admission.stop();
      await Promise.all([closeServer(callerServer), closeServer(administrationServer)]);
      await transport.close();
      await Promise.all([platformAgent.destroy(), targetAgent.destroy(), reportAgent.destroy()]);
      await metrics.close();
    },
  };
}
