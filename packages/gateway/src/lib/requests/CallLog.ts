import type { WorkerId } from '@dandelionlane/core';
import type { LogFields } from '@dandelionlane/telemetry';

/** Longest list of attempts in one log line, in characters. */
const MAXIMUM_LENGTH = 600;

/** Collects the log fields of one request, for the single line that is written at its end. */
export default class CallLog {
  readonly #fields: Record<string, LogFields[string]> = {};

  #attempts = '';

  #lastTarget: WorkerId | null = null;

  set(name: string, value: LogFields[string]): void {
    this.#fields[name] = value;
  }

  /** Adds the summary of an attempt, such as `w1@g3/7 load=4.2/6`. */
  addAttempt(text: string): void {
    if (this.#attempts.length < MAXIMUM_LENGTH) {
      this.#attempts += this.#attempts === '' ? text : `; ${text}`;
    }
  }

  /** Records that the request is sent to a target. */
  recordSend(target: WorkerId): void {
    this.#lastTarget = target;
  }

  /** Target that the request was last sent to; null while it has not been sent. */
  get lastTarget(): WorkerId | null {
    return this.#lastTarget;
  }

  get fields(): LogFields {
    return this.#attempts === '' ? this.#fields : { ...this.#fields, attempts: this.#attempts };
  }
}
