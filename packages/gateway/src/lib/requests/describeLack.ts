import type Choice from '../choice/Choice.js';

/** Why a choice found no target, for the log line of its request. */
export default function describeLack(choice: Extract<Choice, { kind: 'none' }>): string {
  switch (choice.reason) {
    case 'no-target':
    case 'no-path':
    case 'all-full':
    case 'all-cold':
    case 'all-held-off':
    case 'all-limited':
    case 'queue-full':
      return choice.reason;
    case 'all-suspected': {
      const { unreachable, absent, suspected } = choice.avoided;
      return `${choice.reason} (unreachable ${unreachable}, absent ${absent}, suspected ${suspected})`;
    }
    default:
      return choice satisfies never;
  }
}
