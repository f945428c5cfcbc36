import type { Socket } from 'node:net';
import { Client } from 'undici';
import type { ProbeOutcome } from '@dandelionlane/fleet';
import isRefusedConnection from '../lib/targets/isRefusedConnection.js';
import useConnection from '../lib/targets/useConnection.js';

/** Path that the targets of a `TestGateway` answer themselves, whatever their script. */
export const PROBE_PATH = '/probe';

/** Asks a target for a sign of life, over a connection or a new one. */
export default async function probeTarget(
  address: string,
  timeoutMilliseconds: number,
  connection: Socket | null = null,
): Promise<ProbeOutcome> {
  const client = new Client(`http://${address}`, connection === null ? {} : { connect: useConnection(connection) });
  try {
    const { body } = await client.request({
      method: 'GET', path: PROBE_PATH, reset: true, signal: AbortSignal.timeout(timeoutMilliseconds),
    });
    await body.dump();
    return 'answered';
  } catch (error) {
    return isRefusedConnection(String((error as NodeJS.ErrnoException).code)) ? 'refused' : 'unanswered';
  } finally {
    await client.destroy();
  }
}
