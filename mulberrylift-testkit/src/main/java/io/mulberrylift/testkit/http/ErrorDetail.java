package io.mulberrylift.testkit.http;

/**
 * JSON body of an error response.
 *
 * @param detail description of the error and, where useful, its remedy
 */
public record ErrorDetail(String detail) {
}
