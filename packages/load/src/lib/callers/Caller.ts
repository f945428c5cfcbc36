import type PlannedCall from '../arrivals/PlannedCall.js';
import type CallerParts from './CallerParts.js';
import type CallOutcome from './CallOutcome.js';
import type CallResult from './CallResult.js';
import EntryLookup from './EntryLookup.js';
import sendCall from './sendCall.js';

/** Whether an outcome says that the entry is better looked up anew. */
function isEntryFailure(outcome: CallOutcome): boolean {
  switch (outcome.kind) {
    case 'unreachable':
    case 'timeout':
    case 'broken':
      return true;
    case 'refused':
      return outcome.problem.kind === 'entry-leaving';
    case 'answered':
    case 'wrong':
    case 'failed':
      return false;
    default:
      return outcome satisfies never;
  }
}

/** The callers of one team: they look entries up, keep the answer and connect themselves. */
export default class Caller {
  readonly #lookup: EntryLookup;

  readonly #parts: CallerParts;

  constructor(entries: readonly string[], parts: CallerParts) {
    this.#lookup = new EntryLookup(entries, parts);
    this.#parts = parts;
  }

  /**
   * Sends a call once. Only an address that takes no connection makes it try the
   * next: there nothing was sent, so the call cannot run twice.
   */
  async send(call: PlannedCall): Promise<CallResult> {
    let result: CallResult = { outcome: { kind: 'unreachable', detail: 'no entry answered' }, tokenTimes: [] };
    for (const address of await this.#lookup.find(call.service)) {
      result = await sendCall(call, address, this.#parts);
      if (isEntryFailure(result.outcome)) {
        this.#lookup.forget(call.service);
      }
      if (result.outcome.kind !== 'unreachable') {
        return result;
      }
    }
    return result;
  }
}
