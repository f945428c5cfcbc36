/** Former heads kept in a record. Members of older formations return only after a long network partition. */
const MAXIMUM_FORMER_HEADS = 8;

export default MAXIMUM_FORMER_HEADS;
