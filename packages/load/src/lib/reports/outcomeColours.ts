import type OutcomeLabel from '../recorder/OutcomeLabel.js';

/** Colour of each outcome in the charts. */
const outcomeColours: Readonly<Record<OutcomeLabel, string>> = {
  answered: '#4c956c',
  'refused-not-run': '#f2c14e',
  'refused-unknown': '#f78154',
  failed: '#b4436c',
  broken: '#8e3b46',
  timeout: '#5f5aa2',
  unreachable: '#8d99ae',
  wrong: '#000000',
};

export default outcomeColours;
