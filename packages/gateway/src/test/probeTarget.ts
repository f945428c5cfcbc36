import { request } from 'undici';
import type { ProbeOutcome } from '@dandelionlane/fleet';
import isRefusedConnection from '../lib/targets/isRefusedConnection.js';

/** Path that the targets of a `TestGateway` answer themselves, whatever their script. */
export const PROBE_PATH = '/probe';

/** Asks a target for a sign of life over a new connection. */
export default async function probeTarget(
  address: string,
  timeoutMilliseconds: number,
): Promise<ProbeOutcome> {
  try {
    const { body } = await request(`http://${address}${PROBE_PATH}`, {
      reset: true, signal: AbortSignal.timeout(timeoutMilliseconds),
    });
    await body.dump();
    return 'answered';
  } catch (error) {
    return isRefusedConnection(String((error as NodeJS.ErrnoException).code)) ? 'refused' : 'unanswered';
  }
}
