/** Identifiers are 1 to 96 characters: letters, digits, dot, underscore, hyphen. */
const IDENTIFIER_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,95}$/;

export default IDENTIFIER_PATTERN;
