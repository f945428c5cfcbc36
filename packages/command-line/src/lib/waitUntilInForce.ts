import type { ReleaseSequence } from '@dandelionlane/core';
import { err, ok, type Result } from 'neverthrow';
import type AdministrationClient from './AdministrationClient.js';
import EXIT_CODES from './EXIT_CODES.js';
import type Failure from './Failure.js';
import listLaggingEntries from './listLaggingEntries.js';
import type Terminal from './Terminal.js';

const POLL_INTERVAL_MILLISECONDS = 500;
const MILLISECONDS_PER_SECOND = 1_000;

/** Reason why the change is not in force at every entry yet; undefined once it is. */
async function findPendingReason(
  client: AdministrationClient,
  sequence: ReleaseSequence,
): Promise<string | undefined> {
  const result = await client.readStatus();
  return result.match((status) => {
    if (status.sequence < sequence) {
      return `the answering entry is at ${status.sequence}`;
    }
    const laggingEntries = listLaggingEntries(status, sequence);
    return laggingEntries.length === 0 ? undefined : `entries behind: ${laggingEntries.join(', ')}`;
  }, ({ message }) => `the status cannot be read: ${message}`);
}

/**
 * Polls the status until the change is in force at every entry that is neither dead nor
 * leaving. A suspect entry counts, since it may serve.
 *
 * Failures: `waitTimeout`. The change is accepted nevertheless and will come into force.
 */
export default async function waitUntilInForce(
  terminal: Terminal,
  client: AdministrationClient,
  sequence: ReleaseSequence,
  timeoutSeconds: number,
): Promise<Result<ReleaseSequence, Failure>> {
  const { clock } = terminal;
  const deadline = clock.monotonicMilliseconds() + timeoutSeconds * MILLISECONDS_PER_SECOND;
  for (;;) {
    const pendingReason = await findPendingReason(client, sequence);
    if (pendingReason === undefined) {
      return ok(sequence);
    }
    if (clock.monotonicMilliseconds() + POLL_INTERVAL_MILLISECONDS > deadline) {
      return err({
        exitCode: EXIT_CODES.waitTimeout,
        message: `change ${sequence} is accepted, but not in force everywhere after ${timeoutSeconds} s; ${pendingReason}`,
      });
    }
    await terminal.sleep(POLL_INTERVAL_MILLISECONDS);
  }
}
