import type { ReplicaId } from '@dandelionlane/core';
import type AnswerHead from '../requests/AnswerHead.js';

/** A whole answer of a checked replica. */
export default interface CompleteAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
  readonly replica: ReplicaId;
}
