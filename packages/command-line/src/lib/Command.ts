import type { OutOfService } from '@dandelionlane/core';
import type CommandOptions from './CommandOptions.js';

/** Command and arguments parsed from the command line. */
type Command = | { readonly kind: 'publish'; readonly fileName: string; readonly options: CommandOptions }
  | { readonly kind: 'show'; readonly options: CommandOptions }
  | { readonly kind: 'diff'; readonly fileName: string; readonly options: CommandOptions }
  | {
    readonly kind: 'take-out' | 'bring-back';
    readonly subject: OutOfService;
    readonly options: CommandOptions;
  }
  | { readonly kind: 'status'; readonly options: CommandOptions }
  | { readonly kind: 'check'; readonly fileName: string }
  | { readonly kind: 'explain'; readonly request: string; readonly fileNames: readonly string[] };

export default Command;
