import type AttemptProgress from './AttemptProgress.js';

/** Whether the target may have executed an attempt with this progress. */
export default function mayHaveRun(progress: AttemptProgress): boolean {
  switch (progress.kind) {
    case 'not-sent':
    case 'refused':
      return false;
    case 'sent':
    case 'answering':
      return true;
    default:
      return progress satisfies never;
  }
}
