import type { VMPhase } from '@dandelionlane/core';

/** Events of a `ColdStartModel`, in any order. Indexes select an existing item, modulo the count. */
type ModelEvent = | { readonly kind: 'advance'; readonly milliseconds: number }
  | { readonly kind: 'phase'; readonly vm: number; readonly phase: VMPhase; readonly restarts: boolean }
  | { readonly kind: 'warmUp' }
  | { readonly kind: 'report' }
  | { readonly kind: 'deliver'; readonly pick: number; readonly to: number; readonly repeats: boolean }
  | { readonly kind: 'catchUp'; readonly entry: number }
  | { readonly kind: 'startRead'; readonly entry: number }
  | { readonly kind: 'endRead'; readonly pick: number }
  | { readonly kind: 'cut'; readonly entry: number; readonly isPartitioned: boolean }
  | { readonly kind: 'acknowledge'; readonly entry: number }
  | { readonly kind: 'crash'; readonly entry: number }
  | { readonly kind: 'restart'; readonly entry: number }
  | { readonly kind: 'homes'; readonly homes: readonly number[] }
  | { readonly kind: 'plan' }
  | { readonly kind: 'takeover' }
  | { readonly kind: 'dispatch'; readonly entry: number; readonly burst: number }
  | { readonly kind: 'finish'; readonly pick: number; readonly result: 'success' | 'failure' | 'lost' };

export default ModelEvent;
