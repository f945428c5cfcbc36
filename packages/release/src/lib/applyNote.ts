import type { ReleaseNote, ReleaseSequence, ReleaseState } from '@dandelionlane/core';
import listServices from './listServices.js';
import replaceRows from './replaceRows.js';

type Lists = Pick<ReleaseState, 'services' | 'withdrawn' | 'teamWeights'>;

/** Lists of the state after the note was accepted as change `sequence`. */
export default function applyNote(state: ReleaseState, note: ReleaseNote, sequence: ReleaseSequence): Lists {
  const changedServices = new Set<string>(listServices(note));
  const changedTeams = new Set<string>(note.teamWeights.map(({ team }) => team));
  const services = [...note.add, ...note.change]
    .map((definition) => ({ definition, changedAt: sequence }));
  const withdrawn = note.withdraw.map((service) => ({ service, changedAt: sequence }));
  const teamWeights = note.teamWeights.map((row) => ({ ...row, changedAt: sequence }));
  return {
    services: replaceRows(state.services, changedServices, services, ({ definition }) => definition.service),
    withdrawn: replaceRows(state.withdrawn, changedServices, withdrawn, ({ service }) => service),
    teamWeights: replaceRows(state.teamWeights, changedTeams, teamWeights, ({ team }) => team),
  };
}
