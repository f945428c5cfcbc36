import { readFileSync } from 'node:fs';
import type { Server } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { createAdaptorServer } from '@hono/node-server';
import {
  Incarnation, OpenConnections, SERVER_OPTIONS, type EntryRecord,
} from '@dandelionlane/core';
import { createLog } from '@dandelionlane/telemetry';
import createAdministrationApplication from './administration/createAdministrationApplication.js';
import createCallerApplication from './callers/createCallerApplication.js';
import createGrantListener from './peers/createGrantListener.js';
import type PeerEnvelope from './peers/PeerEnvelope.js';
import PeerTransport from './peers/PeerTransport.js';
import ReleaseTracker from './release/ReleaseTracker.js';
import type RequestServer from './requests/RequestServer.js';
import type RunningEntry from './RunningEntry.js';
import type EntrySettings from './settings/EntrySettings.js';
import CallerPort from './startup/CallerPort.js';
import closeHTTP from './startup/closeHTTP.js';
import createComponents from './startup/createComponents.js';
import createRequestServer from './startup/createRequestServer.js';
import createRuntime from './startup/createRuntime.js';
import type EntryComponents from './startup/EntryComponents.js';
import type EntryPhase from './startup/EntryPhase.js';
import type EntryRuntime from './startup/EntryRuntime.js';
import listenHTTP from './startup/listenHTTP.js';
import startPeriodicTasks from './startup/startPeriodicTasks.js';

const DRAIN_POLL_MILLISECONDS = 50;

function createTransport(
  runtime: EntryRuntime,
  components: () => EntryComponents | undefined,
): PeerTransport {
  const { settings, clock } = runtime;
  return new PeerTransport({
    host: settings.peers.host,
    port: settings.peers.port,
    log: createLog('membership', settings.log, clock),
    receive: (envelope, reply) => components()?.group.receive(envelope, reply),
    sendFailed: (address) => components()?.group.sendFailed(address),
    answerHTTP: createGrantListener(() => components()?.targets),
  });
}

function createEntryRecord(runtime: EntryRuntime, callerAddress: string, peerPort: number): EntryRecord {
  const { settings, clock } = runtime;
  return {
    entry: settings.entry,
    region: settings.region,
    availabilityZone: settings.availabilityZone,
    incarnation: Incarnation.parse(clock.now().getTime()),
    callerAddress,
    peerAddress: `${settings.peers.host}:${peerPort}`,
  };
}

async function startAdministration(
  { settings, ...runtime }: EntryRuntime,
  { release, group }: EntryComponents,
  token: string,
): Promise<{ readonly connections: OpenConnections; readonly address: string }> {
  const { host, port } = settings.administration;
  const application = createAdministrationApplication({
    region: settings.region, token, release, group, ...runtime,
  });
  const server = createAdaptorServer({ fetch: application.fetch, serverOptions: SERVER_OPTIONS }) as Server;
  const connections = new OpenConnections(server);
  return { connections, address: await listenHTTP(server, host, port) };
}

async function waitUntilDrained(server: RequestServer): Promise<void> {
  while (server.inFlight > 0) {
    await delay(DRAIN_POLL_MILLISECONDS);
  }
}

/** Starts an entry. Rejects if a port cannot be bound or the token cannot be read. */
export default async function startEntry(settings: EntrySettings): Promise<RunningEntry> {
  // eslint-disable-next-line n/no-sync -- blocks before any request is served
  const token = readFileSync(settings.administration.tokenFile, 'utf8').trim();
  const runtime = createRuntime(settings);
  const { clock, random, log } = runtime;
  let phase: EntryPhase = 'serving';
  let components: EntryComponents | undefined;
  const transport = createTransport(runtime, () => components);
  const callerPort = new CallerPort(settings);
  const peerPort = await transport.listen();
  const callerAddress = await callerPort.listen();
  const self = createEntryRecord(runtime, callerAddress, peerPort);
  const release = new ReleaseTracker({
    store: runtime.store, clock, log: createLog('release', settings.log, clock),
  });
  const send = (address: string, envelope: PeerEnvelope) => transport.send(address, envelope);
  const created = createComponents(runtime, release, self, send);
  components = created;
  const { group, admission } = created;
  const server = createRequestServer(runtime, created, () => phase === 'closed');
  callerPort.serve(createCallerApplication({
    server,
    group,
    release,
    random,
    keepMilliseconds: settings.timing.keepMilliseconds,
    notReadyReason: () => {
      if (phase !== 'serving') {
        return 'shutting down';
      }
      return release.state() === null ? 'no accepted release state from the table service or a peer' : null;
    },
  }));
  const administration = await startAdministration(runtime, created, token);
  group.start();
  const stopPeriodicTasks = startPeriodicTasks(runtime, created, server);
  return {
    callerAddress,
    peerAddress: self.peerAddress,
    administrationAddress: administration.address,
    async stop() {
      phase = 'leaving';
      log.info('Leaving.', { inFlight: server.inFlight });
      group.leave();
      // Callers cache which entry to use, so requests keep arriving and are served for a while.
      await delay(settings.timing.lameDuckMilliseconds);
      phase = 'closed';
      await waitUntilDrained(server);
      log.info('Drained.');
      stopPeriodicTasks();
      group.stop();
      admission.stop();
      const { slowCallerTimeoutMilliseconds } = settings.limits;
      await Promise.all([callerPort.connections, administration.connections].map((connections) => (
        closeHTTP(connections, { clock, slowCallerTimeoutMilliseconds }))));
      await transport.close();
      await runtime.close();
    },
  };
}
