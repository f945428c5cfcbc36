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

type DispatchResult = Result<CompleteAnswer | null, ServingError>;

/** Dependencies of `ClaimedCalls`. */
interface ClaimedCallsOptions {
  readonly claims: ClaimStore;
  readonly clock: Clock;
}

/**
 * Serves calls that must run at most once, each under a claim on its idempotency key.
 *
 * Invariants: a call is sent only after its claim is granted; a claim is released only
 * if the call cannot have run; an attempt continues past its caller's deadline, so that
 * a late answer is stored for later calls with the same key.
 */
export default class ClaimedCalls {
  readonly #options: ClaimedCallsOptions;

  #unsettled = 0;

  constructor(options: ClaimedCallsOptions) {
    this.#options = options;
  }

  /** Number of calls that were sent and whose outcome is not yet stored. */
  get unsettled(): number {
    return this.#unsettled;
  }

  /** Serves one call. `onEnd` is called when the call no longer takes capacity of the targets. */
  async serve(
    request: CallerRequest,
    dispatch: () => Promise<DispatchResult>,
    onEnd: () => void,
  ): Promise<Result<void, ServingError>> {
    const claimed = await this.#claim(request);
    if (claimed.isErr()) {
      onEnd();
      return err(claimed.error);
    }
    if (claimed.value.kind === 'completed') {
      onEnd();
      return fromStoredAnswer(claimed.value.answer)
        .map(({ head, body }) => writeCompleteAnswer(request, head, body));
    }
    const dispatched = this.#send(claimed.value.handle, dispatch, onEnd);
    const result = await this.#waitUntilDeadline(request, dispatched);
    if (result.isOk() && result.value !== null) {
      writeCompleteAnswer(request, result.value.head, result.value.body);
    }
    return result.map(() => undefined);
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

  async #send(
    handle: ClaimHandle,
    dispatch: () => Promise<DispatchResult>,
    onEnd: () => void,
  ): Promise<DispatchResult> {
    this.#unsettled += 1;
    try {
      const result = await dispatch();
      void this.#settle(handle, result);
      return result;
    } catch (cause) {
      this.#unsettled -= 1;
      return err(new ServingError('the call failed inside the entry', { kind: 'internal', cause }));
    } finally {
      onEnd();
    }
  }

  async #settle(handle: ClaimHandle, result: DispatchResult): Promise<void> {
    const { claims } = this.#options;
    if (result.isOk() && result.value !== null) {
      await claims.complete(handle, toStoredAnswer(result.value.head, result.value.body));
    } else if (result.isErr() && isNotRun(result.error)) {
      claims.release(handle);
    }
    this.#unsettled -= 1;
  }

  /** Resolves to the result of the call, or to `target-timeout` if the caller's deadline passes first. */
  async #waitUntilDeadline(
    request: CallerRequest,
    dispatched: Promise<DispatchResult>,
  ): Promise<DispatchResult> {
    const remaining = request.deadlineMilliseconds - this.#options.clock.monotonicMilliseconds();
    let timer: NodeJS.Timeout | undefined;
    const deadlineExceeded = new Promise<DispatchResult>((resolve) => {
      timer = setTimeout(() => resolve(err(new ServingError(
        'the target has not answered by the deadline; its answer is kept under the key',
        { kind: 'target-timeout' },
      ))), Math.max(1, remaining));
    });
    const result = await Promise.race([dispatched, deadlineExceeded]);
    clearTimeout(timer);
    return result;
  }
}
