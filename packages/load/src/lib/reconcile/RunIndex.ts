import type { JournalRun } from '@dandelionlane/standin';
import type CallRecord from '../recorder/CallRecord.js';

function append<Key>(map: Map<Key, JournalRun[]>, key: Key, run: JournalRun): void {
  const runs = map.get(key) ?? [];
  map.set(key, runs);
  runs.push(run);
}

/** Runs of the targets' journals by request id and by idempotency key. */
export default class RunIndex {
  readonly #byRequest = new Map<string, JournalRun[]>();

  readonly #byKey = new Map<string, JournalRun[]>();

  /** A run whose journal names no key counts for the key that its request was sent with. */
  constructor(runs: readonly JournalRun[], records: readonly CallRecord[]) {
    const keys = new Map(records.flatMap(({ call }) => (call.content.kind === 'keyed'
      ? [[call.requestId as string, call.content.key as string] as const]
      : [])));
    runs.forEach((run) => {
      append(this.#byRequest, run.requestId ?? '', run);
      const key = run.idempotencyKey ?? keys.get(run.requestId ?? '');
      if (key !== undefined) {
        append(this.#byKey, key, run);
      }
    });
  }

  ofRequest(requestId: string): readonly JournalRun[] {
    return this.#byRequest.get(requestId) ?? [];
  }

  ofKey(key: string): readonly JournalRun[] {
    return this.#byKey.get(key) ?? [];
  }
}
