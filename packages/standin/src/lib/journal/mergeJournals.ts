import type JournalDocument from './JournalDocument.js';

/** One journal of several targets. */
export default function mergeJournals(documents: readonly JournalDocument[]): JournalDocument {
  return {
    runs: documents.flatMap(({ runs }) => runs),
    maximumRunningWhileCold: Math.max(0, ...documents.map((document) => document.maximumRunningWhileCold)),
    fellOver: documents.reduce((total, { fellOver }) => total + fellOver, 0),
  };
}
