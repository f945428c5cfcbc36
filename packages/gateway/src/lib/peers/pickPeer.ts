import { WorkerId } from '@dandelionlane/core';
import type Candidate from '../choice/Candidate.js';
import type Choice from '../choice/Choice.js';
import type Call from '../requests/Call.js';
import type GatewayContext from '../requests/GatewayContext.js';
import type PeerEntry from './PeerEntry.js';

/** An entry in place of a target. It chooses a target itself. */
function toCandidate(
  { entry }: PeerEntry,
  forwardAddress: string,
  { peerStates, zone }: GatewayContext,
  { service, profile }: Call,
): Candidate {
  const id = WorkerId.parse(entry);
  return {
    entry: {
      worker: {
        id,
        service,
        address: forwardAddress,
        zone,
        domain: null,
        slots: profile.maximumConnections,
        draining: false,
        coldMilliseconds: 0,
        bornAt: null,
        models: [],
        stagedModels: [],
        group: null,
      },
      group: null,
      models: [],
      coldUntil: Number.NEGATIVE_INFINITY,
      lapsedAt: null,
      hasAnnouncedLeaving: false,
    },
    state: peerStates.of(id),
    formation: '',
    slots: profile.maximumConnections,
    isGroupComplete: true,
    peer: entry,
  };
}

/**
 * Chooses an entry that may reach the targets of a request: the one with the fewest requests of this entry.
 * Null where there is none that has not been tried.
 */
export default function pickPeer(
  context: GatewayContext,
  call: Call,
  excluded: ReadonlySet<WorkerId>,
): Extract<Choice, { kind: 'chosen' }> | null {
  const candidates = context.peers().flatMap((peer) => (
    peer.forwardAddress === null || !peer.ready || peer.unreachable.includes(call.service)
      ? [] : [toCandidate(peer, peer.forwardAddress, context, call)]
  )).filter(({ entry: { worker }, state, formation }) => !excluded.has(worker.id) && !state.isUnreachable
    && !state.isAbsent({ bornAt: worker.bornAt, formation }) && !state.isSuspected(formation));
  const [first, ...rest] = candidates
    .map((candidate) => ({ candidate, load: candidate.state.outstanding, order: context.random.next() }));
  if (first === undefined) {
    return null;
  }
  const { candidate, load } = rest.reduce((least, item) => (
    item.load < least.load || (item.load === least.load && item.order < least.order) ? item : least
  ), first);
  return {
    kind: 'chosen', candidate, load, prediction: null, candidates: candidates.length,
  };
}
