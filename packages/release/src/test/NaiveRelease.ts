import type { ReleaseChange, ReleaseNote } from '@dandelionlane/core';

function listNames(note: ReleaseNote): readonly string[] {
  return [
    ...note.add.map(({ service }) => `service ${service}`),
    ...note.change.map(({ service }) => `service ${service}`),
    ...note.withdraw.map((service) => `service ${service}`),
    ...note.teamWeights.map(({ team }) => `team ${team}`),
  ];
}

/** Reference implementation of the release policy: keeps the log and replays all of it for each query. */
export default class NaiveRelease {
  readonly log: ReleaseChange[] = [];

  /** Everything in force, by name, after the first `length` changes of the log. */
  replay(length = this.log.length): ReadonlyMap<string, unknown> {
    const values = new Map<string, unknown>();
    this.log.slice(0, length).forEach((change) => {
      if (change.kind !== 'note') {
        const { subject } = change;
        const name = subject.kind === 'vm' ? `out vm ${subject.vm}` : `out zone ${subject.availabilityZone}`;
        values.delete(name);
        if (change.kind === 'take-out') {
          values.set(name, true);
        }
        return;
      }
      const { note } = change;
      [...note.add, ...note.change].forEach((service) => values.set(`service ${service.service}`, service));
      note.withdraw.forEach((service) => values.delete(`service ${service}`));
      note.teamWeights.forEach(({ team, weight }) => values.set(`team ${team}`, weight));
    });
    return values;
  }

  /** Appends the change unless it is refused. Returns `accepted` or the kind of the refusal. */
  publish(change: ReleaseChange): 'accepted' | 'release-invalid' | 'release-conflict' {
    const refusal = change.kind === 'note' ? this.#refuse(change.note) : undefined;
    if (refusal === undefined) {
      this.log.push(change);
    }
    return refusal ?? 'accepted';
  }

  #refuse(note: ReleaseNote): 'release-invalid' | 'release-conflict' | undefined {
    const names = listNames(note);
    if (new Set(names).size < names.length || note.writtenAgainst > this.log.length) {
      return 'release-invalid';
    }
    const later = this.log.slice(note.writtenAgainst).flatMap((change) => (change.kind === 'note' ? listNames(change.note) : []));
    if (names.some((name) => later.includes(name))) {
      return 'release-conflict';
    }
    const values = this.replay();
    const isInvalid = note.add.some(({ service }) => values.has(`service ${service}`))
      || note.change.some(({ service }) => !values.has(`service ${service}`))
      || note.withdraw.some((service) => !values.has(`service ${service}`));
    return isInvalid ? 'release-invalid' : undefined;
  }
}
