/** First byte of a frame, which tells how the rest is encoded. */
const FRAME_FORMATS = {
  messagePack: 0,
  /** MessagePack, deflated: for long messages that go to many entries at once. */
  deflated: 1,
} as const;

export default FRAME_FORMATS;
