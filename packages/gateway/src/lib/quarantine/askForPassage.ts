import { setTimeout as sleep } from 'node:timers/promises';
import type { Clock, PromptPartId } from '@dandelionlane/core';
import type HeldBack from './HeldBack.js';
import type PromptQuarantine from './PromptQuarantine.js';

/** Time to wait for the permission to try a part whose quarantine is over, in ms: several messages. */
const GRANT_TIMEOUT_MILLISECONDS = 500;

const POLL_MILLISECONDS = 50;

/**
 * Returns what holds a request with these parts back, or null if it may go on. Where the term of a part is
 * over, waits for the permission to try it.
 */
export default async function askForPassage(
  quarantine: PromptQuarantine,
  parts: readonly PromptPartId[],
  clock: Clock,
): Promise<HeldBack | null> {
  const asksUntil = clock.monotonicMilliseconds() + GRANT_TIMEOUT_MILLISECONDS;
  let heldBack = quarantine.find(parts);
  while (heldBack !== null) {
    quarantine.recordHeldBack(heldBack.part);
    if (!heldBack.isTrialDue || clock.monotonicMilliseconds() >= asksUntil) {
      return heldBack;
    }
    await sleep(POLL_MILLISECONDS);
    heldBack = quarantine.find(parts);
  }
  return null;
}
