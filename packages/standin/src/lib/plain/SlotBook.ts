/**
 * Bookings of slots, shared by all VMs of a process as an application's database
 * would be. Every run counts, so that a repeated one shows.
 */
export default class SlotBook {
  readonly #runs = new Map<string, Map<string, number>>();

  /** Books a slot for a service. Returns how often the slot was booked, this time included. */
  book(service: string, slot: string): number {
    const slots = this.#runs.get(service) ?? new Map<string, number>();
    this.#runs.set(service, slots);
    const run = (slots.get(slot) ?? 0) + 1;
    slots.set(slot, run);
    return run;
  }

  list(service: string): readonly { readonly slot: string; readonly runs: number }[] {
    return [...this.#runs.get(service) ?? []].map(([slot, runs]) => ({ slot, runs }));
  }
}
