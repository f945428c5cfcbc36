/** One event of a generated history. `pick` selects a VM, zone or service by index, modulo their number. */
type FleetEvent = | { readonly kind: 'wait'; readonly seconds: number }
  | { readonly kind: 'crash'; readonly pick: number; readonly seconds: number }
  | { readonly kind: 'lose'; readonly pick: number }
  | { readonly kind: 'silence'; readonly pick: number; readonly seconds: number }
  | { readonly kind: 'cut-off'; readonly pick: number; readonly seconds: number }
  | { readonly kind: 'unlist'; readonly pick: number; readonly seconds: number }
  | { readonly kind: 'leave'; readonly pick: number }
  | { readonly kind: 'stray'; readonly pick: number }
  | { readonly kind: 'domain-crash'; readonly pick: number; readonly seconds: number }
  | { readonly kind: 'zone-out'; readonly pick: number }
  | { readonly kind: 'zone-in'; readonly pick: number }
  | { readonly kind: 'vm-out'; readonly pick: number }
  | { readonly kind: 'scale'; readonly pick: number; readonly replicas: number }
  | { readonly kind: 'version'; readonly pick: number; readonly version: string }
  | { readonly kind: 'withdraw'; readonly pick: number };

export default FleetEvent;
