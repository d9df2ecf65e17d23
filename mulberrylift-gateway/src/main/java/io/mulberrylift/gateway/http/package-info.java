/**
 * HTTP client, page server and addresses shared by the caller side and the endpoint side.
 */
package io.mulberrylift.gateway.http;
