import type { ReplicaId } from '@dandelionlane/core';
import type AnswerHead from '../requests/AnswerHead.js';

/** A complete answer of a replica that was verified to be whole after answering. */
export default interface CompleteAnswer {
  readonly head: AnswerHead;
  readonly body: Buffer;
  readonly replica: ReplicaId;
}
