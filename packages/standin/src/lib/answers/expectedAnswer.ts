import { hashText } from '@dandelionlane/core';
import answerWord from './answerWord.js';

/**
 * The whole answer of a model engine stand-in. `prompt` is the text of
 * `promptOf(messages)`; `maximumTokens` is the request's `max_tokens`.
 */
export default function expectedAnswer(prompt: string, maximumTokens: number): string {
  const promptHash = hashText(prompt);
  return Array.from({ length: maximumTokens }, (_, position) => answerWord(promptHash, position)).join(' ');
}
