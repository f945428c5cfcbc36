import {
  type Clock, parseWith, type ServingError, SystemClock, type VMId,
} from '@dandelionlane/core';
import { ResultAsync } from 'neverthrow';
import { Agent, type Dispatcher } from 'undici';
import type { z } from 'zod';
import mergeJournals from '../journal/mergeJournals.js';
import SlotBook from '../plain/SlotBook.js';
import type RunningServer from '../server/RunningServer.js';
import startServer from '../server/startServer.js';
import createControlApp from './createControlApp.js';
import VMServer from './VMServer.js';
import type VMsHandle from './VMsHandle.js';
import VMsSettings from './VMsSettings.js';

type Servers = ReadonlyMap<VMId, VMServer>;

function createServers(settings: VMsSettings, clock: Clock, dispatcher: Dispatcher): Servers {
  const book = new SlotBook();
  return new Map(settings.vms.map((vm) => [vm.vm, new VMServer({
    vm, common: settings, clock, dispatcher,
  }, book)]));
}

function toHandle(servers: Servers, control: RunningServer, dispatcher: Dispatcher): VMsHandle {
  return {
    controlAddress: control.address,
    vms: [...servers].map(([vm, { address }]) => ({ vm, address })),
    applyFault: async (vm, fault) => {
      const server = servers.get(vm);
      await server?.apply(fault);
      return server !== undefined;
    },
    journal: () => mergeJournals([...servers.values()].map(({ engine }) => engine.journal.toDocument())),
    close: async () => {
      await Promise.all([control, ...servers.values()].map((server) => server.close()));
      await dispatcher.destroy();
    },
  };
}

/**
 * Starts VM stand-ins in this process. Errors: `settings-invalid`; `internal` when a
 * port cannot be bound; `store-unavailable` when the platform does not take a VM's record.
 */
export default function startVMs(
  settings: z.input<typeof VMsSettings>,
  clock: Clock = new SystemClock(),
): ResultAsync<VMsHandle, ServingError> {
  return parseWith(VMsSettings, settings, 'settings-invalid').asyncAndThen((checked) => {
    const dispatcher = new Agent();
    const servers = createServers(checked, clock, dispatcher);
    return ResultAsync.combine([...servers.values()].map((server) => server.start()))
      .andThen(() => startServer(createControlApp(servers), checked.host, checked.controlPort))
      .map((control) => toHandle(servers, control, dispatcher))
      .orTee(() => [...servers.values()].forEach((server) => void server.close()));
  });
}
