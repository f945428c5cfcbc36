import { ServingError } from '@dandelionlane/core';
import type Call from '../requests/Call.js';
import type GatewayContext from '../requests/GatewayContext.js';
import askForPassage from './askForPassage.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Refusal of a request that crashes targets, or that has a part which does; null if it may go on. */
export default async function findRefusal(
  { quarantine, clock }: GatewayContext,
  { suspects, log }: Call,
): Promise<ServingError | null> {
  const heldBack = await askForPassage(quarantine, suspects, clock);
  if (heldBack === null) {
    return null;
  }
  log.set('quarantinedPart', heldBack.part);
  return new ServingError('the request, or a part of its prompt, crashes targets', {
    kind: 'prompt-quarantined',
    retryAfterSeconds: Math.ceil(heldBack.retryAfterMilliseconds / MILLISECONDS_PER_SECOND),
  });
}
