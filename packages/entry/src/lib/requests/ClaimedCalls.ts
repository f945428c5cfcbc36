import { err, type Result } from 'neverthrow';
import { ServingError, type Clock } from '@dandelionlane/core';
import {
  createClaimKey, createFingerprint, type ClaimHandle, type ClaimStore,
} from '@dandelionlane/platform';
import type CompleteAnswer from '../dispatch/CompleteAnswer.js';
import writeCompleteAnswer from '../dispatch/writeCompleteAnswer.js';
import type CallerRequest from './CallerRequest.js';
import fromStoredAnswer from './fromStoredAnswer.js';
import isNotRun from './isNotRun.js';
import toStoredAnswer from './toStoredAnswer.js';

const CLAIM_TIMEOUT_MILLISECONDS = 5_000;

type Sent = Result<CompleteAnswer | null, ServingError>;

/** What `ClaimedCalls` needs from outside. */
interface ClaimedCallsOptions {
  readonly claims: ClaimStore;
  readonly clock: Clock;
}

/**
 * Serves calls that run at most once, by their claims.
 *
 * Invariants: nothing is sent before the claim is granted; a claim is given up only
 * if nothing can have run; a send goes on after its caller's deadline, so that a late
 * answer is kept for later calls with the same key.
 */
export default class ClaimedCalls {
  readonly #options: ClaimedCallsOptions;

  #unsettled = 0;

  constructor(options: ClaimedCallsOptions) {
    this.#options = options;
  }

  /** Calls that were sent and whose outcome is not yet kept. */
  get unsettled(): number {
    return this.#unsettled;
  }

  /** Serves one call. `ended` is called when it no longer takes a place at a target. */
  async serve(
    request: CallerRequest,
    dispatch: () => Promise<Sent>,
    ended: () => void,
  ): Promise<Result<void, ServingError>> {
    const claimed = await this.#claim(request);
    if (claimed.isErr()) {
      ended();
      return err(claimed.error);
    }
    if (claimed.value.kind === 'completed') {
      ended();
      return fromStoredAnswer(claimed.value.answer)
        .map(({ head, body }) => writeCompleteAnswer(request, head, body));
    }
    const sending = this.#send(claimed.value.handle, dispatch, ended);
    const sent = await this.#untilDeadline(request, sending);
    if (sent.isOk() && sent.value !== null) {
      writeCompleteAnswer(request, sent.value.head, sent.value.body);
    }
    return sent.map(() => undefined);
  }

  #claim(request: CallerRequest) {
    const { idempotencyKey, team, definition } = request;
    if (idempotencyKey === null) {
      return Promise.resolve(err(new ServingError(
        'the call needs an Idempotency-Key',
        { kind: 'idempotency-key-missing' },
      )));
    }
    const key = createClaimKey(team, definition.service, idempotencyKey);
    const fingerprint = createFingerprint(request.method, request.path, request.body);
    return this.#options.claims.claim(key, fingerprint, CLAIM_TIMEOUT_MILLISECONDS);
  }

  async #send(handle: ClaimHandle, dispatch: () => Promise<Sent>, ended: () => void): Promise<Sent> {
    this.#unsettled += 1;
    try {
      const sent = await dispatch();
      void this.#settle(handle, sent);
      return sent;
    } catch (cause) {
      this.#unsettled -= 1;
      return err(new ServingError('the call failed inside the entry', { kind: 'internal', cause }));
    } finally {
      ended();
    }
  }

  async #settle(handle: ClaimHandle, sent: Sent): Promise<void> {
    const { claims } = this.#options;
    if (sent.isOk() && sent.value !== null) {
      await claims.complete(handle, toStoredAnswer(sent.value.head, sent.value.body));
    } else if (sent.isErr() && isNotRun(sent.error)) {
      claims.release(handle);
    }
    this.#unsettled -= 1;
  }

  /** What the caller is told by its deadline. */
  async #untilDeadline(request: CallerRequest, sending: Promise<Sent>): Promise<Sent> {
    const remaining = request.deadlineMilliseconds - this.#options.clock.monotonicMilliseconds();
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<Sent>((resolve) => {
      timer = setTimeout(() => resolve(err(new ServingError(
        'the target has not answered by the deadline; its answer is kept under the key',
        { kind: 'target-timeout' },
      ))), Math.max(1, remaining));
    });
    const sent = await Promise.race([sending, late]);
    clearTimeout(timer);
    return sent;
  }
}
