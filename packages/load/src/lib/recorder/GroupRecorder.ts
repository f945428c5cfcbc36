import type { ServiceId, TeamId } from '@dandelionlane/core';
import type CallRecord from './CallRecord.js';
import type GroupSummary from './GroupSummary.js';
import labelOutcome from './labelOutcome.js';
import LatencyHistogram from './LatencyHistogram.js';
import noOutcomes from './noOutcomes.js';

/** Outcomes and times of one team's calls to one service. */
export default class GroupRecorder {
  readonly #team: TeamId;

  readonly #service: ServiceId;

  readonly #outcomes = noOutcomes();

  readonly #firstToken = new LatencyHistogram();

  readonly #betweenTokens = new LatencyHistogram();

  readonly #whole = new LatencyHistogram();

  constructor(team: TeamId, service: ServiceId) {
    this.#team = team;
    this.#service = service;
  }

  record({ result, intendedStart, endedAt }: CallRecord): void {
    this.#outcomes[labelOutcome(result.outcome)] += 1;
    const [firstToken] = result.tokenTimes;
    if (firstToken !== undefined) {
      this.#firstToken.record(firstToken - intendedStart);
    }
    result.tokenTimes.forEach((time, index) => {
      const before = result.tokenTimes[index - 1];
      if (before !== undefined) {
        this.#betweenTokens.record(time - before);
      }
    });
    if (result.outcome.kind === 'answered') {
      this.#whole.record(endedAt - intendedStart);
    }
  }

  summary(): GroupSummary {
    return {
      team: this.#team,
      service: this.#service,
      outcomes: { ...this.#outcomes },
      firstToken: this.#firstToken.summary(),
      betweenTokens: this.#betweenTokens.summary(),
      whole: this.#whole.summary(),
    };
  }
}
