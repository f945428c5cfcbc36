import type LoadOptions from './LoadOptions.js';
import type LoadSettings from './LoadSettings.js';

function listJournals({ journal = [], _: further = [] }: LoadOptions): readonly string[] {
  return [journal, further].flat()
    .flatMap((addresses) => addresses.split(','))
    .filter((address) => address !== '');
}

/** The settings with the options of the command line in force. The result is still to be checked. */
export default function applyOptions(settings: LoadSettings, options: LoadOptions): unknown {
  const journals = listJournals(options);
  return {
    ...settings,
    durationSeconds: options.duration ?? settings.durationSeconds,
    ratePerSecond: options.rate ?? settings.ratePerSecond,
    seed: options.seed ?? settings.seed,
    journals: journals.length === 0 ? settings.journals : journals,
  };
}
