import type { VMId } from '@dandelionlane/core';
import type NotWholeReason from './NotWholeReason.js';

/** Whether the last byte of an answer may be sent to the caller. */
type AnswerAssessment = | { readonly kind: 'valid' }
  | { readonly kind: 'invalid'; readonly reason: NotWholeReason; readonly vm: VMId };

export default AnswerAssessment;
