import type ConnectionPhase from './ConnectionPhase.js';

/** What a decision needs to know about a connection. */
interface ConnectionState {
  readonly phase: ConnectionPhase;
  /** Monotonic time since which it has been in its phase, in ms. */
  readonly since: number;
}

/** Age up to which a connection without a request counts as one that is about to send it, in ms. */
const NEW_MILLISECONDS = 1_000;

/** Rank of such a connection: after those that have had an answer. */
const OPENING_RANK = 2.5;

/** Order in which connections are closed; null for those that are never closed to make room. */
const RANKS: Readonly<Record<ConnectionPhase, number | null>> = {
  new: 0,
  idle: 1,
  unread: 2,
  receiving: 3,
  serving: null,
  upgraded: null,
};

/**
 * Chooses the connection that makes room for a new one: the one that has been longest in the phase of which
 * the fewest requests are lost. Returns null where only requests that are being served could be closed.
 * @param now Monotonic time in ms.
 */
export default function chooseConnectionToClose<Connection extends ConnectionState>(
  connections: Iterable<Connection>,
  now: number,
): Connection | null {
  let chosen: Connection | null = null;
  let chosenRank = Number.POSITIVE_INFINITY;
  for (const connection of connections) {
    const isOpening = connection.phase === 'new' && now - connection.since < NEW_MILLISECONDS;
    const rank = isOpening ? OPENING_RANK : RANKS[connection.phase];
    if (rank !== null && (chosen === null || rank < chosenRank
      || (rank === chosenRank && connection.since < chosen.since))) {
      chosen = connection;
      chosenRank = rank;
    }
  }
  return chosen;
}
