/** First byte of a frame; identifies the encoding of the rest. */
const FRAME_FORMATS = {
  messagePack: 0,
  /** MessagePack, deflated: for large messages that are sent to many entries at once. */
  deflated: 1,
} as const;

export default FRAME_FORMATS;
