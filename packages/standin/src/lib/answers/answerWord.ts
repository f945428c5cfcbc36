import { hashText } from '@dandelionlane/core';

const SYLLABLES = [
  'ba', 'de', 'fi', 'go', 'hu', 'ka', 'le', 'mi', 'no', 'pu', 'ra', 'se', 'ti', 'vo', 'wu', 'za',
];
const SYLLABLES_PER_WORD = 4;

/** The word at a position of the answer to a prompt. Depends on nothing else. */
export default function answerWord(promptHash: number, position: number): string {
  let number = hashText(`${promptHash}:${position}`);
  let word = '';
  for (let count = 0; count < SYLLABLES_PER_WORD; count += 1) {
    word += SYLLABLES[number % SYLLABLES.length];
    number = Math.floor(number / SYLLABLES.length);
  }
  return word;
}
